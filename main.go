// Command crocuswing is a query tier over many shards.
package main

import (
	"os"

	"crocuswing/internal/command/root"
)

func main() {
	os.Exit(root.Run(os.Args[1:], os.Stdout, os.Stderr))
}
