// Command geraniumbeamd is not built yet.
package main

func main() {}
