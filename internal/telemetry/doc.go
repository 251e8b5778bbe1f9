// Package telemetry sets up structured logs and metrics.
package telemetry
