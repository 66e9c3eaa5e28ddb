package daemon

import "github.com/marigoldlever/marigoldlever/peer"

// Traffic returns the counters of this host's peer connections.
func (d *Daemon) Traffic() peer.Stats { return d.node.Stats() }

// ConfigurationInForce returns the number of the configuration version that queries at
// this host use, or 0 if there is none.
func (d *Daemon) ConfigurationInForce() uint64 {
	if active := d.directory.active(); active != nil {
		return active.Number
	}
	return 0
}
