// Command rhubarbctl is described in docs/design.md, section 5.
package main

func main() {}
