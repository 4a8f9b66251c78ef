// Command masticturn is the daemon and the operators' client.
package main

import (
	"context"
	"os"

	"masticturn/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
