package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxDepth bounds the nesting of values.
const maxDepth = 64

// parser builds nodes from the tokens of encoding/json.
type parser struct {
	data    []byte
	decoder *json.Decoder
}

func parse(data []byte) (*node, error) {
	if i := invalidUTF8(data); i >= 0 {
		return nil, &syntaxError{offset: i, message: "the text is not valid UTF-8"}
	}
	p := &parser{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return nil, err
	}
	next := p.next()
	if next < len(data) {
		return nil, &syntaxError{offset: next, message: "there is text after the value"}
	}
	return root, nil
}

func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// next returns the offset at which the next token begins.
func (p *parser) next() int {
	i := int(p.decoder.InputOffset())
	for i < len(p.data) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[i]) >= 0 {
		i++
	}
	return i
}

func (p *parser) token() (json.Token, error) {
	token, err := p.decoder.Token()
	if err == nil {
		return token, nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return nil, &syntaxError{offset: p.fault(syntax), message: syntax.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &syntaxError{offset: len(p.data), message: "the text ends too early"}
	}
	return nil, &syntaxError{offset: p.next(), message: err.Error()}
}

// fault returns the offset of the character that the error names. It is at the
// error's offset or one before it, as the decoder's state or its scanner found it.
func (p *parser) fault(err *json.SyntaxError) int {
	at := int(err.Offset)
	if at < len(p.data) && strings.Contains(err.Error(), strconv.QuoteRune(rune(p.data[at]))) {
		return at
	}
	return max(at-1, 0)
}

func (p *parser) value(depth int) (*node, error) {
	n := &node{offset: p.next()}
	if depth > maxDepth {
		return nil, &syntaxError{offset: n.offset, message: "values are nested too deeply"}
	}
	token, err := p.token()
	if err != nil {
		return nil, err
	}
	if err := p.fill(n, token, depth); err != nil {
		return nil, err
	}
	n.end = int(p.decoder.InputOffset())
	return n, nil
}

func (p *parser) fill(n *node, token json.Token, depth int) error {
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			n.kind = objectNode
			return p.object(n, depth)
		}
		n.kind = arrayNode
		return p.array(n, depth)
	case string:
		n.kind = stringNode
	case json.Number:
		n.kind = numberNode
	case bool:
		n.kind = boolNode
	default:
		n.kind = nullNode
	}
	return nil
}

func (p *parser) object(n *node, depth int) error {
	for p.decoder.More() {
		offset := p.next()
		token, err := p.token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return &syntaxError{offset: offset, message: "a member's name is a string"}
		}
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, offset: offset, value: value})
	}
	_, err := p.token()
	return err
}

func (p *parser) array(n *node, depth int) error {
	for p.decoder.More() {
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.elements = append(n.elements, value)
	}
	_, err := p.token()
	return err
}
