package ratelimit

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"masticturn/internal/membership"
)

// holderSet is a set of VMs that may hold shares, each with the ID of its process.
type holderSet map[string]uint16

// processID returns a short ID of a process. Two processes of a VM may have the same ID; this only
// delays the detection that the earlier one has ended.
func processID(process uint64) uint16 { return uint16(process ^ process>>16 ^ process>>32) }

// merge adds the VMs of another set. If a VM has a different process in the other set, that process
// replaces the present one: others holds the earlier process, whose shares may still be in force.
func (s holderSet) merge(others holderSet) { maps.Copy(s, others) }

// without returns a copy of the set without the given VMs.
func (s holderSet) without(vms []string) holderSet {
	rest := maps.Clone(s)
	for _, vm := range vms {
		delete(rest, vm)
	}
	return rest
}

// with returns a copy of the set with another VM.
func (s holderSet) with(vm string) holderSet {
	more := holderSet{vm: 0}
	more.merge(s)
	return more
}

// intersection returns the VMs that have the same process in both sets.
func (s holderSet) intersection(others holderSet) holderSet {
	both := make(holderSet)
	for vm, process := range s {
		if other, ok := others[vm]; ok && other == process {
			both[vm] = process
		}
	}
	return both
}

// withEndedProcess returns the VMs whose process in the set has ended, as shown by a different process
// in the member view.
func (s holderSet) withEndedProcess(v *membership.View) []string {
	var names []string
	for i := range v.Members {
		m := &v.Members[i]
		if id, ok := s[m.Name]; ok && m.Process != 0 && processID(m.Process) != id {
			names = append(names, m.Name)
		}
	}
	return names
}

const (
	// maxHoldersBytes limits the size of an unpacked set.
	maxHoldersBytes = 1 << 20
	// processSeparator separates the VM name from the process ID, which is written in base
	// processBase.
	processSeparator = "@"
	processBase      = 36
)

// packHolders encodes a set for the store. It is compressed because VM names are similar.
func packHolders(s holderSet) string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(s)) {
		lines = append(lines, name+processSeparator+strconv.FormatUint(uint64(s[name]), processBase))
	}
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // fails only for invalid levels
	_, _ = io.WriteString(w, strings.Join(lines, "\n"))
	_ = w.Close() // writes to a bytes.Buffer don't fail
	return base64.StdEncoding.EncodeToString(out.Bytes())
}

// unpackHolders is the inverse of packHolders. Entries that can't be decoded are omitted.
func unpackHolders(packed string) holderSet {
	raw, err := base64.StdEncoding.DecodeString(packed)
	if err != nil {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(raw))
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxHoldersBytes))
	if err != nil {
		return nil
	}
	s := make(holderSet)
	for line := range strings.SplitSeq(string(text), "\n") {
		name, id, ok := strings.Cut(line, processSeparator)
		if n, err := strconv.ParseUint(id, processBase, 16); ok && err == nil {
			s[name] = uint16(n)
		}
	}
	return s
}
