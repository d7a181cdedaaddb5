package proof_test

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"jacinthpaddle.example/fleet/process/ident"

	"jacinthpaddle.example/proof/process/harness"
)

// requestedTokens is the max_tokens of the requests that the OpenAI client library
// sends.
const requestedTokens = 12

func TestOpenAIClient(t *testing.T) {
	f := harness.NewFleet(t, harness.Config{Network: 11, Routers: 2, Endpoints: 2})
	answer, err := harness.NewClient(t).Locate(t.Context(), f.Routers[0].CallerAddress(), harness.HallKey)
	if err != nil {
		t.Fatalf("locate: got %v, want no error", err)
	}
	if got, want := len(answer.Addresses), 2; got != want {
		t.Fatalf("locate: got %d addresses, want %d", got, want)
	}
	for _, found := range answer.Addresses {
		caller := openai.NewClient(
			option.WithBaseURL("http://"+found.Address+"/v1/"),
			option.WithAPIKey(harness.HallKey),
			option.WithMaxRetries(0),
		)
		checkContent(t, found.VM+"-whole", completeWhole(t.Context(), t, caller, found.VM+"-whole"))
		checkContent(t, found.VM+"-streamed", completeStreamed(t.Context(), t, caller, found.VM+"-streamed"))
	}
	read := f.AwaitBills(t, 0)
	read.Check(t)
	checkSpendMatchesUsage(t, read, 2*len(answer.Addresses))
}

func params(message string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "small",
		MaxTokens: openai.Int(requestedTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(message)},
	}
}

func completeWhole(ctx context.Context, t *testing.T, caller openai.Client, message string) string {
	t.Helper()
	completion, err := caller.Chat.Completions.New(ctx, params(message))
	if err != nil {
		t.Fatalf("%s: got %v, want no error", message, err)
	}
	if got, want := completion.Usage.CompletionTokens, int64(requestedTokens); got != want {
		t.Errorf("%s: got %d tokens in the usage, want %d", message, got, want)
	}
	return completion.Choices[0].Message.Content
}

func completeStreamed(ctx context.Context, t *testing.T, caller openai.Client, message string) string {
	t.Helper()
	stream := caller.Chat.Completions.NewStreaming(ctx, params(message))
	defer func() { _ = stream.Close() }()
	joined := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !joined.AddChunk(stream.Current()) {
			t.Errorf("%s: got a chunk of another completion", message)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatalf("%s: got %v, want no error", message, err)
	}
	if len(joined.Choices) != 1 {
		t.Fatalf("%s: got %d choices, want 1", message, len(joined.Choices))
	}
	if got, want := joined.Choices[0].FinishReason, "length"; got != want {
		t.Errorf("%s: got finish reason %q, want %q", message, got, want)
	}
	return joined.Choices[0].Message.Content
}

func checkContent(t *testing.T, message, got string) {
	t.Helper()
	if want := harness.ExpectedContent(message, requestedTokens); got != want {
		t.Errorf("%s: got %q, want %q", message, got, want)
	}
}

// checkSpendMatchesUsage asserts that each bill is the price of the tokens that the
// endpoints counted.
func checkSpendMatchesUsage(t *testing.T, read harness.Records, requests int) {
	t.Helper()
	if got := len(read.Bills); got != requests {
		t.Errorf("bills: got %d, want %d", got, requests)
	}
	var want int64
	for _, run := range read.Runs {
		charge := run.PromptTokens*harness.InputPrice + run.CompletionTokens*harness.OutputPrice
		want += charge
		if got := read.Bills[ident.Request(run.RequestID)].Charge; got != charge {
			t.Errorf("request %s: got %d credits billed, want %d", run.RequestID, got, charge)
		}
	}
	if got := read.Billed(harness.HallBudget); got != want {
		t.Errorf("spend: got %d, want %d, the price of the tokens that endpoints counted", got, want)
	}
}
