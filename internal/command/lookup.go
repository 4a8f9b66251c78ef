package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/edge"
)

const (
	flagVM        = "vm"
	flagAddress   = "address"
	lookupTimeout = 5 * time.Second
)

type lookupQuery struct {
	Address string `url:"address,omitempty"`
}

func newLookup() *cli.Command {
	return &cli.Command{
		Name:  "lookup",
		Usage: "ask a VM which VMs a caller should use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagVM, Usage: "`URL` of the caller listener of any VM", Required: true},
			&cli.StringFlag{Name: flagAddress, Usage: "ask on behalf of this IP `ADDRESS`"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			answer, err := requestLookup(ctx, c.String(flagVM), c.String(flagAddress))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, answer)
			}
			return printLookup(c.Root().Writer, answer)
		},
	}
}

func requestLookup(ctx context.Context, vm, address string) (*edge.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	client := sling.New().Base(vm).Get(edge.PathLookup).QueryStruct(lookupQuery{Address: address})
	req, err := client.Request()
	if err != nil {
		return nil, usageError(trace.Wrap(err, "--%s", flagVM))
	}
	answer := &edge.LookupResponse{}
	resp, err := client.Do(req.WithContext(ctx), answer, nil)
	if err != nil {
		return nil, trace.Wrap(err, "look-up at %s", vm)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "look-up at %s: %s", vm, resp.Status)
	}
	return answer, nil
}

func printLookup(w io.Writer, answer *edge.LookupResponse) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "VM\tZONE\tADDRESS\n")
	for _, vm := range answer.VMs {
		fmt.Fprintf(tab, "%s\t%s\t%s\n", vm.Name, vm.Zone, vm.Address)
	}
	fmt.Fprintf(tab, "\nmay be cached for %gs; based on generation %d\n", answer.MaxAgeSeconds, answer.Generation)
	return trace.Wrap(tab.Flush())
}
