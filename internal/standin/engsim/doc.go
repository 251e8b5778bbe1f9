// Package engsim is a stand-in model engine for the agents' engine protocol. It has finite
// accelerator memory, batches continuously, keeps a prefix cache of finite size and honours
// priorities. Depending on its settings it resumes answers, checks fencing tokens and
// crashes on a prompt; its reports lag, its cache events come late and with gaps, orders are
// lost, delayed or duplicated, and its connections break. It records what it ran, so that
// tests can compare that with what callers were told.
package engsim
