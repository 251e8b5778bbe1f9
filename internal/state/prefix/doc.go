// Package prefix describes prompts by digests of their prefixes, and keeps bounded maps of
// the prefixes that engines probably have in their prefix caches. All of these are hints: a
// wrong entry makes a request slower, never its answer wrong.
package prefix
