package server_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"laburnumline/refuser"
	"laburnumline/server"
)

func ExampleServer() {
	// The conductor of this example refuses every engine call.
	c := &fakeConductor{err: refuser.New(refuser.BudgetExhausted, "reserve").WithDetail("the budget has 12 tokens left")}
	s, err := server.New(server.Config{Conductor: c, DefaultOutput: 512})
	if err != nil {
		fmt.Println(err)
		return
	}
	body := `{"model":"quote-model","messages":[{"role":"user","content":"Which twine?"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+bearer)
	response := httptest.NewRecorder()
	s.Handler().ServeHTTP(response, request)
	fmt.Println(response.Code)
	fmt.Println(response.Body)
	// Output:
	// 402
	// {"error":{"message":"the budget has 12 tokens left","type":"insufficient_quota","code":"budget_exhausted","param":null,"ran":"no","reason":"budget_exhausted"}}
}
