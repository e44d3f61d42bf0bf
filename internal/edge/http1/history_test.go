package http1

import (
	"fmt"
	"testing"
)

// identified returns a message with an ID. Messages that share a history are attempts of one request.
func identified(id string, history *History) Message {
	return Message{Method: "GET", Head: []byte("GET /" + id + " HTTP/1.1\r\nHost: h\r\n"), ID: id, History: history}
}

// TestRepeatedResponseIsNotTakenForLaterOne guards against a response that a back end sends a second
// time, in the place of the response to the next attempt of the same request: both carry its ID, and
// a repeated refusal would count as the proof that the next attempt did not run.
func TestRepeatedResponseIsNotTakenForLaterOne(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
	for _, test := range []struct {
		name string
		// ids are those of the requests; the last one has the ID of the first one.
		ids []string
		// attempts is set if the requests of the same ID are attempts of one request.
		attempts bool
	}{
		{"next attempt", []string{"a", "a"}, true},
		{"attempt after another request", []string{"a", "b", "a"}, true},
		{"ID that a client uses twice", []string{"a", "a"}, false},
		{"ID that a client uses again after another request", []string{"a", "b", "a"}, false},
		{"ID that a client uses again much later", []string{"a", "b", "c", "d", "e", "f", "g", "h", "a"}, false},
	} {
		for _, limit := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d connections", test.name, limit), func(t *testing.T) {
				b := newBackend(t, func(connection, number int) string {
					switch {
					case connection == 1 && number == 1:
						return refusal
					case connection == 1 && number == len(test.ids):
						return refusal + okResponse
					}
					return okResponse
				})
				client := newClient(t, limit)
				history := new(History)
				var last *Response
				for _, id := range test.ids {
					message := identified(id, nil)
					if test.attempts && id == test.ids[0] {
						message.History = history
					}
					response, err := client.Do(t.Context(), b.target(), message, isMatch)
					if err != nil {
						t.Fatal(err)
					}
					last = response
				}
				if last.Status != 200 {
					t.Errorf("got status %d, want 200: the response of an earlier request was taken", last.Status)
				}
				if got := b.connections.Load(); got != 2 {
					t.Errorf("got %d connections, want 2", got)
				}
			})
		}
	}
}

// TestOtherRequestsReuseConnectionOfRefusal guards against new connections that protect nothing: a
// connection that carried one request serves all others.
func TestOtherRequestsReuseConnectionOfRefusal(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	for number := range 20 {
		message := identified(fmt.Sprint(number), new(History))
		if _, err := client.Do(t.Context(), b.target(), message, isMatch); err != nil {
			t.Fatal(err)
		}
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("got %d connections for 20 requests, want 1", got)
	}
}
