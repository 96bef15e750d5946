// Command geraniumbeam-report is not built yet.
package main

func main() {}
