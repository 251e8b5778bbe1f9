// Package telemetry sets up structured logs and metrics. With an AsyncWriter, a slow log
// output delays no caller: lines are dropped and counted instead.
package telemetry
