package server

import (
	"encoding/json"
	"net/http"
)

// maxMessageBytes bounds a JSON body that a stand-in reads.
const maxMessageBytes = 64 << 20

// ReadJSON decodes the request's body into the value. If the body is too long,
// is not valid JSON or has unknown fields, ReadJSON answers 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
