package trial

import "github.com/marigoldlever/marigoldlever/peer"

// Traffic returns the statistics of the daemon's peer connections. They are zero if
// it does not run.
func (h *Host) Traffic() peer.Stats {
	if h.daemon == nil {
		return peer.Stats{}
	}
	return h.daemon.Traffic()
}

// ConfigurationNumber returns the number of the configuration in force on the
// daemon, or 0 if there is none or the daemon does not run.
func (h *Host) ConfigurationNumber() uint64 {
	if h.daemon == nil {
		return 0
	}
	return h.daemon.ConfigurationInForce()
}
