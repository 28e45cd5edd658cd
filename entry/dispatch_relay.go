package entry

import (
	"errors"
	"io"

	"github.com/cornelyard/cornelyard/target"
)

// maxBufferedBodyBytes is the size up to which a response that is not streamed is
// read completely before it is forwarded, so that a truncated response can be
// reported as an error.
const maxBufferedBodyBytes = 64 << 10

func isBufferable(response *target.Response) bool {
	return !response.Stream && response.Length >= 0 && response.Length <= maxBufferedBodyBytes
}

func (d *dispatch) relayBuffered(response *target.Response) error {
	var body []byte
	collect := func(c target.Chunk) error {
		body = append(body, c.Bytes...)
		return nil
	}
	if err := d.relay(response, collect); err != nil {
		return err
	}
	d.sendHead(response, true)
	return d.forward(target.Chunk{Bytes: body})
}

func (d *dispatch) sendHead(response *target.Response, verified bool) {
	if d.x.recorder != nil {
		d.x.recorder.setHead(response.Status, response.Header)
	}
	d.x.response.setHead(&responseHead{
		status:   response.Status,
		header:   response.Header,
		stream:   response.Stream,
		length:   response.Length,
		verified: verified,
	})
}

// relay calls handle for each chunk until the response is complete.
func (d *dispatch) relay(response *target.Response, handle func(target.Chunk) error) error {
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.Usage != nil {
			d.usage = chunk.Usage
		}
		d.progress.addTokens(chunk.Tokens)
		if err := handle(chunk); err != nil {
			return err
		}
	}
}

func (d *dispatch) forward(chunk target.Chunk) error {
	if d.x.recorder != nil {
		d.x.recorder.add(chunk.Bytes)
	}
	return d.x.response.write(d.ctx, chunk.Bytes)
}
