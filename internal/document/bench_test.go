package document

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeDocument returns a document of the size that the fleet is designed for:
// 32 versions, 940 upstreams, 7 zones.
func largeDocument(tb testing.TB) *Document {
	d := loadExample(tb, "demo.yaml")
	for i := range 5 {
		d.Zones = append(d.Zones, Zone{Name: fmt.Sprint("az-", i), Region: "r", Ramp: 1})
	}
	for i := range 30 {
		d.Models = append(d.Models, Model{Name: fmt.Sprint("m-", i), Versions: []Version{{Name: "v1", State: Stable}}})
	}
	for i := range 934 {
		u := d.Upstreams[0]
		u.Name = fmt.Sprint("x-", i)
		u.Address = fmt.Sprintf("10.1.%d.%d:80", i/250, i%250+1)
		u.Zone = d.Zones[i%len(d.Zones)].Name
		d.Upstreams = append(d.Upstreams, u)
	}
	require.NoError(tb, Validate(d))
	return d
}

func BenchmarkLoadLarge(b *testing.B) {
	text, err := Encode(largeDocument(b))
	require.NoError(b, err)
	b.ReportMetric(float64(len(text)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		_, err := Load(text)
		require.NoError(b, err)
	}
}

func BenchmarkLoadStoredLarge(b *testing.B) {
	d := largeDocument(b)
	d.Generation = 7
	text, err := EncodeStored(d)
	require.NoError(b, err)
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = z.Write(text)
	require.NoError(b, z.Close())
	b.ReportAllocs()
	for b.Loop() {
		_, err := LoadStored(text)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(text)), "bytes")
	b.ReportMetric(float64(packed.Len()), "gzipped-bytes")
}

func BenchmarkDigestLarge(b *testing.B) {
	d := largeDocument(b)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Digest(d)
		require.NoError(b, err)
	}
}

func BenchmarkNewIndexLarge(b *testing.B) {
	d := largeDocument(b)
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(d)
	}
}

func BenchmarkTeamByKey(b *testing.B) {
	x := NewIndex(loadExample(b, "demo.yaml"))
	b.ReportAllocs()
	for b.Loop() {
		x.TeamByKey("demo-engravers-key")
	}
}

func BenchmarkCall(b *testing.B) {
	x := NewIndex(loadExample(b, "demo.yaml"))
	b.ReportAllocs()
	for b.Loop() {
		x.Call("orders", "GET", "/stock/horn-12")
	}
}
