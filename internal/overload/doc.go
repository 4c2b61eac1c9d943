// Package overload holds the tests of dogwood-edge processes under clients that break the rules. They are behind the build tag
// "overload", since each needs the machine for itself.
package overload
