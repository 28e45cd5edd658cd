package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// maxDepth limits the nesting of values.
const maxDepth = 64

// unexpectedEnd is the message of encoding/json for a truncated text.
const unexpectedEnd = "unexpected end of JSON input"

// parser builds nodes from the tokens of a text that has passed validate.
type parser struct {
	data    []byte
	decoder *json.Decoder
}

func parse(data []byte) (*node, error) {
	if err := validate(data); err != nil {
		return nil, err
	}
	p := &parser{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	return p.parseValue(0)
}

// validate returns the first syntax error of the text. Reading tokens with
// encoding/json alone would accept some invalid texts, such as one with a colon after
// the top-level value.
func validate(data []byte) error {
	if i := invalidUTF8(data); i >= 0 {
		return &syntaxError{offset: i, message: "the text is not valid UTF-8"}
	}
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &syntax):
		return &syntaxError{message: err.Error()}
	case syntax.Error() == unexpectedEnd:
		return &syntaxError{offset: len(data), message: "the text ends too early"}
	default:
		return &syntaxError{offset: max(int(syntax.Offset)-1, 0), message: syntax.Error()}
	}
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

// nextOffset returns the offset of the next token.
func (p *parser) nextOffset() int {
	i := int(p.decoder.InputOffset())
	for i < len(p.data) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[i]) >= 0 {
		i++
	}
	return i
}

// token returns the next token. It does not fail for a valid text.
func (p *parser) token() (json.Token, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return nil, &syntaxError{offset: p.nextOffset(), message: err.Error()}
	}
	return token, nil
}

func (p *parser) parseValue(depth int) (*node, error) {
	n := &node{offset: p.nextOffset()}
	if depth > maxDepth {
		return nil, &syntaxError{offset: n.offset, message: "values are nested too deeply"}
	}
	token, err := p.token()
	if err != nil {
		return nil, err
	}
	if err := p.parseInto(n, token, depth); err != nil {
		return nil, err
	}
	n.end = int(p.decoder.InputOffset())
	return n, nil
}

func (p *parser) parseInto(n *node, token json.Token, depth int) error {
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			n.kind = objectNode
			return p.parseObject(n, depth)
		}
		n.kind = arrayNode
		return p.parseArray(n, depth)
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

func (p *parser) parseObject(n *node, depth int) error {
	for p.decoder.More() {
		nameOffset := p.nextOffset()
		token, err := p.token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return &syntaxError{offset: nameOffset, message: "a member's name is a string"}
		}
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, offset: nameOffset, value: value})
	}
	_, err := p.token()
	return err
}

func (p *parser) parseArray(n *node, depth int) error {
	for p.decoder.More() {
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.elements = append(n.elements, value)
	}
	_, err := p.token()
	return err
}
