// Command geraniumbeam-dev is not built yet.
package main

func main() {}
