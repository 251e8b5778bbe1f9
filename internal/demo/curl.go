package demo

import "fmt"

// CurlExamples returns three curl commands: a chat request, a stream and the operators' status.
func (d *Demo) CurlExamples() string {
	caller, admin := d.CallerAddresses()[0], d.AdminAddress()
	return fmt.Sprintf(`curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"corral-00","messages":[{"role":"user","content":"Which corral is bib 1204 in?"}]}'
curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' -d '{"model":"adapter-007","stream":true,"messages":[{"role":"user","content":"Draft a recall notice for lot 88."}]}'
curl -s http://%[2]s/admin/v1/status -H 'Authorization: Bearer %[5]s'
`, caller, admin, RegistryGroupKey, RecallGroupKey, OperatorKey)
}
