package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
)

func ExampleDispatcher() {
	engine := emulator.NewEngine(emulator.EngineConfig{OutputTokens: 3})
	url, err := engine.Serve()
	if err != nil {
		fmt.Println(err)
		return
	}
	defer engine.Close()
	d := dispatcher.New(dispatcher.Config{})
	defer d.Close()

	stream, err := d.CallEngine(context.Background(), dispatcher.EngineCall{
		Upstream:  contractor.Upstream{Name: "engine-1", URL: url},
		Key:       contractor.NewRequestKey("loft-7", "quote-17"),
		Attempt:   1,
		Body:      []byte(`{"model":"quote-model","stream":true,"messages":[{"role":"user","content":"Which twine?"}]}`),
		MaxOutput: 2,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("offset", chunk.Offset, "tokens", chunk.Tokens)
	}
	fmt.Println("billed output:", stream.Usage().OutputTokens)
	// Output:
	// offset 0 tokens 0
	// offset 0 tokens 1
	// offset 1 tokens 1
	// offset 2 tokens 0
	// billed output: 2
}
