package once

// Capacity is what a number of journals can carry.
type Capacity struct {
	RequestsPerSecond float64 // requests a second at which the journals are full
	UpdatesPerSecond  float64 // updates a second at most, all journals together
	BytesPerSecond    float64 // bytes written a second at both of these rates
}

// Capacity returns the capacity of these settings for entries of a mean size in
// bytes. BenchmarkDecodeFull measures 104 bytes for an entry with a result of 43
// bytes; two more of them mark the result.
//
// A journal is bound by its size, because each entry stays for the retention,
// and every update writes the whole journal. More journals carry more requests
// but need a longer UpdateInterval for the same number of updates, and that
// interval is added to the answer time of a request. While few requests come, a
// request costs two updates: its record and its outcome.
func (c Config) Capacity(entryBytes float64) Capacity {
	journals := float64(c.Journals)
	room := float64(c.MaxJournalBytes - c.ClaimReserve)
	r := Capacity{RequestsPerSecond: journals * room / entryBytes / c.Retention().Seconds()}
	if c.UpdateInterval > 0 {
		r.UpdatesPerSecond = journals / c.UpdateInterval.Seconds()
		r.BytesPerSecond = r.UpdatesPerSecond * room
	}
	return r
}
