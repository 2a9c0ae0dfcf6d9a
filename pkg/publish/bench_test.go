package publish

import (
	"context"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/monsooncrank/monsooncrank/coordination/table/memtable"
	"github.com/monsooncrank/monsooncrank/pkg/config"
	"github.com/monsooncrank/monsooncrank/pkg/providers/objectstore/memstore"
)

const benchDaemons = 7

// BenchmarkInForceByPoll measures the time from publishing the Kodiclub example
// until seven daemons without peers serve it. The time is that of the slowest
// poll.
func BenchmarkInForceByPoll(b *testing.B) { benchmarkInForce(b, false) }

// BenchmarkInForceByAnnouncement measures the same with an announcement to each
// daemon.
func BenchmarkInForceByAnnouncement(b *testing.B) { benchmarkInForce(b, true) }

func benchmarkInForce(b *testing.B, announce bool) {
	klog.SetLogger(klog.Logger{})
	store, objects := memtable.New(), memstore.New()
	set, err := config.Load("../../examples/kodiclub.jsonc")
	if err != nil {
		b.Fatal(err)
	}
	var daemons []*Follower
	for range benchDaemons {
		daemons = append(daemons, NewFollower(FollowerOptions{Table: store, Objects: objects}))
	}
	defer func() {
		for _, d := range daemons {
			d.Close()
		}
	}()
	p := NewPublisher(PublisherOptions{Table: store, Objects: objects})
	for b.Loop() {
		head, _, err := readHead(context.Background(), store)
		if err != nil {
			b.Fatal(err)
		}
		record, err := p.Publish(context.Background(), Request{Set: set, BaseRevision: head.Revision})
		if err != nil {
			b.Fatal(err)
		}
		for _, d := range daemons {
			if announce {
				d.HandleAnnouncement(record.Revision, record.BodyHash)
			}
		}
		waitInForce(daemons, record.Revision)
	}
}

func waitInForce(daemons []*Follower, want uint64) {
	for _, d := range daemons {
		for {
			if s, err := d.Current(); err == nil && s.Revision >= want {
				break
			}
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// BenchmarkCurrent measures the lookup of the current configuration, which every
// request does.
func BenchmarkCurrent(b *testing.B) {
	klog.SetLogger(klog.Logger{})
	store, objects := memtable.New(), memstore.New()
	p := NewPublisher(PublisherOptions{Table: store, Objects: objects})
	if _, err := p.Publish(context.Background(), Request{Set: setOf(1)}); err != nil {
		b.Fatal(err)
	}
	d := NewFollower(FollowerOptions{Table: store, Objects: objects})
	defer d.Close()
	waitInForce([]*Follower{d}, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Current(); err != nil {
			b.Fatal(err)
		}
	}
}
