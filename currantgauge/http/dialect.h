// How callers and backend servers are spoken to: the names of the fields that
// carry deadlines, ids and proofs, and what a status says. The rules of a
// dialect are data; the codecs read it.
//
//   Dialect Native = nativeDialect();
//   Request.set(Native.TimeoutField, "250");
#ifndef CURRANTGAUGE_HTTP_DIALECT_H
#define CURRANTGAUGE_HTTP_DIALECT_H

#include <string>

namespace currantgauge::http {

// Dialect names fields. One that is empty is neither read nor sent.
struct Dialect {
  std::string TimeoutField;   // what is left, in milliseconds
  std::string WorkspaceField; // of callers
  std::string KeyField;       // idempotency key, of callers
  std::string ActionField;    // action id, of callers

  // Towards backend servers. AttemptField carries the caller's own id of its
  // attempt when PassesAttempt, else ours.
  std::string AttemptField;
  bool PassesAttempt = false;
  std::string RequestField;        // our id of the request
  std::string ExpectedServerField; // the server that may run it
  std::string CallerServiceField;  // of the VM where the request began

  // In answers of backend servers.
  std::string NotRunField;    // proof that the server did not run the request
  std::string SignatureField; // without it a success is not the server's
  bool EchoesAttempt =
      false; // answers without AttemptField's value are others'
  bool UnframedIsWhole =
      false; // an orderly close ends an answer without length

  // In answers to callers.
  bool MarksAnswers = true;         // verdict, reason, request id and server
  bool NotRunIsUnavailable = false; // each refusal with proof is 503 or 429
  bool FractionalRetryAfter = false;
  bool IssuesActionIds = true;
};

// nativeDialect() is this project's own.
Dialect nativeDialect();

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_DIALECT_H
