// Command monsooncrank is the operators' command.
package main

func main() {}
