// Package notice decodes and keeps what endpoints say of themselves in their answers: that they
// leave, and for how long they want no requests. What an endpoint says holds for its
// incarnation, whatever its registration says and whether or not that is there at all.
package notice
