// Command standin is one of the programs of jacinthstage.
package main

func main() {}
