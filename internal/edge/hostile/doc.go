// Package hostile has the tests of pier-edge against clients that are not trusted. They
// start the built program as a process of its own, with stand-ins of the store and of an
// upstream, and read its peak memory and its open descriptors from /proc.
package hostile
