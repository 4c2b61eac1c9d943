package limits

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

type noPeers struct{}

func (noPeers) Peers() []Peer { return nil }

// benchService returns a service with full buckets of n organisations.
func benchService(b *testing.B, n int) (*Service, []string) {
	b.Helper()
	names := make([]string, n)
	var orgs []config.Organisation
	for i := range names {
		names[i] = fmt.Sprintf("organisation-%05d", i)
		orgs = append(orgs, config.Organisation{Name: names[i], Rate: 1e9, Burst: 1e12})
	}
	c := clock.Boot{}
	s, err := New(Options{
		Network: newFakeNetwork().join(peer.Identity{Instance: "lima-1", Region: "lima", Incarnation: 1}),
		Store:   memory.NewStore(memory.StoreOptions{Clock: c}), Clock: c, Peers: noPeers{},
		Config: &fakeSource{view: view(1, []config.Region{{Name: "lima", Slots: 2}}, orgs...)},
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.refresh(context.Background()); err != nil {
		b.Fatal(err)
	}
	return s, names
}

// BenchmarkAdmitAndSettle is the limiter's whole work for a request that this instance has the tokens for.
func BenchmarkAdmitAndSettle(b *testing.B) {
	for _, n := range []int{340, 3_400, 34_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, names := benchService(b, n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					charge, err := s.Admit(context.Background(), names[i%n], 1)
					if err != nil {
						continue // the bucket is not filled yet
					}
					if s.StillValid(charge) {
						s.Settle(charge, 1)
					}
				}
			})
		})
	}
}

// BenchmarkLoanMessage encodes and decodes one ask and its answer, and reports their size.
func BenchmarkLoanMessage(b *testing.B) {
	ask := ratelimit.LoanRequest{
		Organisation: "organisation-00001", Need: 1500, Level: 20, Share: ratelimit.Share{Rate: 80, Burst: 800}, Demand: 90, Fanout: 4,
		Returns: []ratelimit.LoanReturn{{ID: 1 << 60, Remaining: ratelimit.Share{Rate: 10}, Tokens: 0}},
	}
	answer := ratelimit.LoanResponse{
		Loan:      &ratelimit.Loan{ID: 1 << 61, Share: ratelimit.Share{Rate: 10, Burst: 1500}, Tokens: 1500, Term: 10_000_000_000},
		Borrowers: []string{"lima-1"},
	}
	b.ReportAllocs()
	size := 0
	for range b.N {
		request, err := proto.Marshal(&wire.BorrowRequest{Asks: []*wire.LoanAsk{AskToWire(ask)}})
		if err != nil {
			b.Fatal(err)
		}
		response, err := proto.Marshal(&wire.BorrowResponse{Answers: []*wire.LoanAnswer{AnswerToWire(answer)}})
		if err != nil {
			b.Fatal(err)
		}
		var req wire.BorrowRequest
		var resp wire.BorrowResponse
		if err := proto.Unmarshal(request, &req); err != nil {
			b.Fatal(err)
		}
		if err := proto.Unmarshal(response, &resp); err != nil {
			b.Fatal(err)
		}
		askFromWire(req.GetAsks()[0])
		answerFromWire(resp.GetAnswers()[0])
		size = len(request) + len(response)
	}
	b.ReportMetric(float64(size), "bytes/exchange")
}
