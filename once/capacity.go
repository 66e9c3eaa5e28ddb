package once

// Capacity is the largest load that a number of journals can carry.
type Capacity struct {
	RequestsPerSecond float64 // request rate at which the journals are full
	UpdatesPerSecond  float64 // largest update rate of all journals together
	BytesPerSecond    float64 // bytes written at this update rate with full journals
}

// Capacity returns the capacity of these settings for entries of a mean size in
// bytes. BenchmarkDecodeFull measures 104 bytes for an entry with a result of 43
// bytes, which takes 45 bytes with its separator and prefix.
//
// The size of a journal limits its request rate, because each entry stays for the
// retention time, and every update writes the whole journal. More journals carry
// more requests, but need a longer UpdateInterval for the same update rate, and
// that interval adds to the latency of a request. At a low request rate, a request
// costs two updates: one for its record and one for its outcome.
func (c Config) Capacity(entryBytes float64) Capacity {
	journals := float64(c.Journals)
	usableBytes := float64(c.MaxJournalBytes - c.ClaimReserve)
	r := Capacity{RequestsPerSecond: journals * usableBytes / entryBytes / c.Retention().Seconds()}
	if c.UpdateInterval > 0 {
		r.UpdatesPerSecond = journals / c.UpdateInterval.Seconds()
		r.BytesPerSecond = r.UpdatesPerSecond * usableBytes
	}
	return r
}
