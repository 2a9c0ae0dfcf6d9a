package mesh_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"github.com/monsooncrank/monsooncrank/coordination/table"
	"github.com/monsooncrank/monsooncrank/pkg/mesh"
	"github.com/monsooncrank/monsooncrank/pkg/streamversion"
	"github.com/monsooncrank/monsooncrank/pkg/usage"
)

// goldenMessages holds messages that were encoded by the code of each format: of the commits
// 3ce50e8 and b5ba10b, whose messages state none, and of the first one that states its format.
var goldenMessages = map[string]mesh.Format{
	"message-3ce50e8.cbor": mesh.FormatRecords, "message-b5ba10b.cbor": mesh.FormatDigests, "message-format-3.cbor": mesh.FormatStated,
	"message-format-4.cbor": mesh.FormatDemands, "message-format-5.cbor": mesh.FormatEpochs, "message-format-6.cbor": mesh.FormatOrigins,
	"message-format-7.cbor": mesh.FormatCollectors,
}

func golden(t testing.TB, name string) []byte {
	t.Helper()
	encoded, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestMessagesOfAllFormatsAreRead guards against a change of the messages between daemons that
// those of an earlier version, which run beside this one during an upgrade, don't take part in.
func TestMessagesOfAllFormatsAreRead(t *testing.T) {
	for name, format := range goldenMessages {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m, err := mesh.DecodeMessage(golden(t, name))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(m.Format).To(gomega.Equal(format))
			g.Expect(m.Record.Node).To(gomega.Equal("daemon-1"))
			g.Expect(m.Record.Quota.Used).To(gomega.HaveKeyWithValue("account", 250.0))
			g.Expect(m.Record.Usage[7]).To(gomega.HaveKeyWithValue("account", gomega.BeEquivalentTo(4)))
			g.Expect(m.Record.Refusals).To(gomega.HaveKeyWithValue("i-1#5", uint64(2)))
			g.Expect(m.Records).To(gomega.HaveLen(1))
			g.Expect(m.Records[0].Loads["i-1"].Running).To(gomega.Equal(3))
			g.Expect(m.CatalogVersion).To(gomega.BeEquivalentTo(13))
			g.Expect(m.Fleet.Entries).To(gomega.HaveLen(1))
			g.Expect(m.Fleet.Entries[0].Server.RunID()).To(gomega.Equal("i-1#5"))
			g.Expect(m.Fleet.Entries[0].Server.Version).To(gomega.Equal("v1"))
			g.Expect(m.Limits[0].PerSecond).To(gomega.Equal(1.5))
		})
	}
}

// TestTheFieldsOfDemandsAreRead guards against fields of FormatDemands that lose their meaning.
func TestTheFieldsOfDemandsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	m, err := mesh.DecodeMessage(golden(t, "message-format-4.cbor"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Record.Rollouts["s"].Cells[0].Failed).To(gomega.Equal(uint64(1)))
	g.Expect(m.Record.Demand[0].Micros).To(gomega.Equal(250_000))
	g.Expect(m.Record.Speeds.First).To(gomega.Equal(uint64(4)))
	g.Expect(m.Record.Work["s"].RefusedTokens).To(gomega.Equal(200))
	g.Expect(m.Rollouts[0].Order.Service).To(gomega.Equal("s"))
	g.Expect(m.RolloutsAsOf).To(gomega.Equal(table.Version(12)))
	g.Expect(m.RolloutsWithdrawn).To(gomega.HaveKeyWithValue("other", table.Version(11)))
	g.Expect(m.StoredVersions.Contains("s", "v2")).To(gomega.BeTrue())
	g.Expect(m.Speeds.Span.To).To(gomega.Equal(uint64(1)))
	g.Expect(m.SpeedsReceived.Revision).To(gomega.Equal(uint64(1)))
	d, err := m.DecodeDigest()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.Rollouts["s"].Bad).To(gomega.Equal(4))
	g.Expect(d.Levels[0].Ranks[0].PerMille).To(gomega.Equal(500))
	g.Expect(d.ShortPrompts).To(gomega.HaveKeyWithValue("s", 1200))
}

// TestTheFieldsOfEpochsAreRead guards against fields of FormatEpochs that lose their meaning.
func TestTheFieldsOfEpochsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	m, err := mesh.DecodeMessage(golden(t, "message-format-5.cbor"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Fleet.Version).To(gomega.Equal(table.Epoch(2).At(20)))
	g.Expect(m.FinalWindows).To(gomega.Equal([]int64{6, 7}))
	g.Expect(m.FinalCounts).To(gomega.Equal(usage.Windows{7: {"account": 4}}))
}

// TestTheFieldsOfOriginsAreRead guards against fields of FormatOrigins that lose their meaning.
func TestTheFieldsOfOriginsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	m, err := mesh.DecodeMessage(golden(t, "message-format-6.cbor"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Versions.Table).To(gomega.Equal("2q8xk1v0u4"))
	g.Expect(m.Versions.RoutesMillis).To(gomega.BeEquivalentTo(42_000))
	g.Expect(m.Versions.Uses).To(gomega.ContainElement(streamversion.Use{Service: "routes of streams", Version: "1x -", AgeMillis: 300}))
	g.Expect(m.Versions.Uses).To(gomega.ContainElement(streamversion.Use{Service: "ages of streams", Version: "30000", AgeMillis: -9000}))
}

// TestTheFieldsOfCollectorsAreRead guards against fields of messages about streams that lose their meaning.
func TestTheFieldsOfCollectorsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	m, err := streamversion.Decode[streamversion.Message](golden(t, "streams-format-7.cbor"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.Collect).To(gomega.BeEquivalentTo(40))
	g.Expect(m.Batch.Groups).To(gomega.HaveLen(1))
	g.Expect(m.Batch.Groups[0].Origin).To(gomega.Equal(streamversion.Origin{Service: "s", Version: "v2"}))
	g.Expect(m.Batch.Groups[0].Len()).To(gomega.Equal(2))
	g.Expect(m.Batch.Groups[0].RemainingMillis).To(gomega.BeEquivalentTo(20_000))
	reply, err := streamversion.Decode[streamversion.Reply](golden(t, "streams-reply-format-7.cbor"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(*reply).To(gomega.Equal(streamversion.Reply{Run: 5, Outcome: streamversion.RecordsBeingWritten}))
}

// TestTheCurrentFormatHasAGoldenMessage guards against a change of the format without a message
// of it for later versions to read, and against fields that lose their numbers.
func TestTheCurrentFormatHasAGoldenMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	newest := mesh.Format(0)
	for name, format := range goldenMessages {
		newest = max(newest, format)
		m, err := mesh.DecodeMessage(golden(t, name))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		encoded, err := m.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var before, after map[uint64]cbor.RawMessage
		g.Expect(cbor.Unmarshal(golden(t, name), &before)).To(gomega.Succeed())
		g.Expect(cbor.Unmarshal(encoded, &after)).To(gomega.Succeed())
		for field := range before {
			g.Expect(after).To(gomega.HaveKey(field), "%s, field %d", name, field)
		}
	}
	g.Expect(newest).To(gomega.Equal(mesh.CurrentFormat))
}

// FuzzMessages guards against messages that make a daemon panic.
func FuzzMessages(f *testing.F) {
	for name := range goldenMessages {
		f.Add(golden(f, name))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		m, err := mesh.DecodeMessage(encoded)
		if err != nil {
			return
		}
		if m.Format == 0 {
			t.Error("a message without a format")
		}
		d := newDirectory()
		d.UpdateNeighbor(at(0), m, true)
		d.MergeRecord(at(0), &m.Record)
		d.Collects()
		d.OldestFormat(at(0))
	})
}

// TestAPeerMayChangeItsFormat guards against a daemon that is treated by the format of its earlier
// run, that states a format of the future or another one in each message.
func TestAPeerMayChangeItsFormat(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDirectory()
	for i := range 20 {
		d.UpdateEntry(at(0), string(rune('a'+i)), "", 0.1, 1)
	}
	hear := func(ms int, node string, format mesh.Format) {
		m := message(node, at(ms))
		m.Format, m.OldestHeard = format, format
		d.UpdateNeighbor(at(ms), m, true)
	}
	const formatOfTheFuture = 99
	for i, format := range []mesh.Format{mesh.FormatRecords, formatOfTheFuture, mesh.FormatDigests, mesh.FormatRecords, mesh.FormatStated} {
		hear(1000*i, "a", format)
		g.Expect(d.SendsRecord("a") || d.SendsDigest("a")).To(gomega.BeTrue())
		g.Expect(d.OldestFormat(at(1000 * i))).To(gomega.Equal(min(format, mesh.CurrentFormat)))
		stated, known := d.FormatOf("a")
		g.Expect(known).To(gomega.BeTrue())
		g.Expect(stated).To(gomega.Equal(format))
	}
	hear(10_000, "b", mesh.FormatRecords)
	hear(14_000, "a", mesh.FormatStated)
	g.Expect(d.OldestFormat(at(14_500))).To(gomega.Equal(mesh.FormatRecords))
	g.Expect(d.OldestFormat(at(10_000).Add(5*time.Second))).To(gomega.Equal(mesh.FormatStated), "it was not heard for long")
}
