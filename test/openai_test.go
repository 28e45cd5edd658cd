package test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

func openAISpec() testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 2)
	spec.Targets = []testbed.TargetSpec{testbed.EngineSpec("west-e1", model, "west", slotsPerEngine)}
	return spec
}

func openAIClient(host *testbed.Host, token string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(host.CallerURL()+"/v1"),
		option.WithAPIKey(token),
		option.WithMaxRetries(0),
	)
}

func chatParams(model, prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(tokens),
	}
}

func TestOpenAIClient(t *testing.T) {
	cluster := startCluster(t, openAISpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, host := range cluster.Hosts {
		client := openAIClient(host, callerToken)
		t.Run(string(host.ID())+" non-streamed", func(t *testing.T) { checkNonStreamed(ctx, t, client) })
		t.Run(string(host.ID())+" streamed", func(t *testing.T) { checkStreamed(ctx, t, client) })
		t.Run(string(host.ID())+" refusals", func(t *testing.T) { checkRefusals(ctx, t, host) })
	}
}

func checkNonStreamed(ctx context.Context, t *testing.T, client openai.Client) {
	const prompt = "a non-streamed response"
	completion, err := client.Chat.Completions.New(ctx, chatParams(model, prompt, 20))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := completion.Choices[0].Message.Content, chatclient.ExpectedContent(prompt, 20); got != want {
		t.Errorf("got content %q, want %q", got, want)
	}
	if completion.Usage.CompletionTokens != 20 {
		t.Errorf("got usage %+v, want 20 completion tokens", completion.Usage)
	}
}

func checkStreamed(ctx context.Context, t *testing.T, client openai.Client) {
	const prompt = "a streamed response"
	params := chatParams(model, prompt, 20)
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	defer func() { _ = stream.Close() }()
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Fatal("the client rejected a chunk as not part of the stream")
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := accumulated.Choices[0].Message.Content, chatclient.ExpectedContent(prompt, 20); got != want {
		t.Errorf("got content %q, want %q", got, want)
	}
	if accumulated.Usage.CompletionTokens != 20 {
		t.Errorf("got usage %+v, want 20 completion tokens", accumulated.Usage)
	}
}

func checkRefusals(ctx context.Context, t *testing.T, host *testbed.Host) {
	cases := []struct {
		name    string
		token   string
		model   string
		options []option.RequestOption
		status  int
		code    string
	}{
		{name: "unknown token", token: "nobody", model: model, status: 401, code: "unauthorized"},
		{name: "unknown model", token: callerToken, model: "none", status: 404, code: "unknown-pool"},
		{
			name: "bad deadline", token: callerToken, model: model, status: 400, code: "bad-request",
			options: []option.RequestOption{option.WithHeader("X-Cornelyard-Deadline-Ms", "soon")},
		},
		{
			name: "non-idempotent without a key", token: callerToken, model: model, status: 400, code: "key-missing",
			options: []option.RequestOption{option.WithHeader("X-Cornelyard-Non-Idempotent", "true")},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := openAIClient(host, c.token)
			_, err := client.Chat.Completions.New(ctx, chatParams(c.model, "refuse me", 5), c.options...)
			var apiError *openai.Error
			if !errors.As(err, &apiError) {
				t.Fatalf("got error %v, want an API error", err)
			}
			if apiError.StatusCode != c.status || apiError.Code != c.code || apiError.Message == "" {
				t.Errorf("got status %d, code %q, message %q", apiError.StatusCode, apiError.Code, apiError.Message)
			}
			if got := apiError.Response.Header.Get("X-Cornelyard-Outcome"); got != "not-run" {
				t.Errorf("got outcome %q, want not-run", got)
			}
		})
	}
}

// Two long requests fill the pool's only slot and its queue of length one, so that
// further requests are shed.
func TestOpenAIClientGetsRateLimitErrorWhenShed(t *testing.T) {
	spec := openAISpec()
	spec.Pools[0].MaxQueue = 1
	spec.Targets = []testbed.TargetSpec{testbed.EngineSpec("west-e1", model, "west", 1)}
	cluster := startCluster(t, spec)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	slow, cancelSlow := context.WithCancel(ctx)
	owner := ownerOf(cluster, "west", model)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			_, _ = cluster.Hosts[0].CallerClient(callerToken).Complete(slow, chatclient.Call{Model: model, Prompt: "fill", MaxTokens: 10_000, Stream: true})
		})
	}
	waitUntil(t, "one running and one queued request", func() bool {
		return countRunning(t, cluster, "west-e1") == 1 && countQueuedFromPeers(ctx, t, cluster, owner) == 1
	})
	for _, host := range cluster.Hosts {
		client := openAIClient(host, callerToken)
		_, err := client.Chat.Completions.New(ctx, chatParams(model, "shed me", 5))
		var apiError *openai.Error
		if !errors.As(err, &apiError) {
			t.Fatalf("got error %v, want an API error", err)
		}
		if apiError.StatusCode != 429 || apiError.Code != "shed" || apiError.Type != "rate_limit_error" {
			t.Errorf("got status %d, code %q, type %q", apiError.StatusCode, apiError.Code, apiError.Type)
		}
		if apiError.Response.Header.Get("Retry-After") == "" {
			t.Error("the response to a shed request has no Retry-After header")
		}
	}
	cancelSlow()
	calls.Wait()
}

// The engine is killed in the middle of a stream.
func TestOpenAIClientGetsErrorForInterruptedStream(t *testing.T) {
	cluster := startCluster(t, openAISpec())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, host := range cluster.Hosts {
		engine := cluster.Targets["west-e1"]
		client := openAIClient(host, callerToken)
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(model, "interrupt me", 10_000))
		if !stream.Next() {
			t.Fatalf("the stream ended before its first chunk: %v", stream.Err())
		}
		if err := engine.Kill(); err != nil {
			t.Fatal(err)
		}
		for stream.Next() {
		}
		if stream.Err() == nil {
			t.Errorf("the interrupted stream through %s ended without an error", host.ID())
		}
		_ = stream.Close()
		if err := engine.Start(); err != nil {
			t.Fatal(err)
		}
		if err := engine.WaitListening(ctx); err != nil {
			t.Fatal(err)
		}
	}
}
