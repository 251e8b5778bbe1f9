// Package health keeps a gateway's health record of one endpoint, from the results of its
// own requests: whether the endpoint can be reached, its failure rate, and the ratio of its
// latency to the estimates. Health checks can be wrong and registrations lag behind; the
// results of requests are direct evidence. A Record is immutable, and its methods take the
// current time.
package health
