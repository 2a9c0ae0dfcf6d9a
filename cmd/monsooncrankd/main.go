// Command monsooncrankd is the daemon that serves callers.
package main

func main() {}
