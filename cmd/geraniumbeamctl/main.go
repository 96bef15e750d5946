// Command geraniumbeamctl is not built yet.
package main

func main() {}
