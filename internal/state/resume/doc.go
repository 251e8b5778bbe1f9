// Package resume decides at which software version a broken stream may continue. Records holds
// which version began which stream, History which versions of a service were registered lately,
// and Decide combines them. The package is pure but for its locks: times are arguments.
//
// It is designed for 103 gateways, 180 engines and 2,000 new streams a second over all gateways:
// about 600 records in a gateway and 1,000 in a keeper. MaxRecords is far above both.
package resume
