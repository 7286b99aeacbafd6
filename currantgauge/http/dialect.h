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
struct HttpDialect {
  std::string TimeoutField;        // what is left, in milliseconds
  std::string WorkspaceField;      // of callers
  std::string IdempotencyKeyField; // idempotency key, of callers
  std::string ActionIdField;       // action id, of callers

  // Towards backend servers. AttemptField carries the caller's own id of its
  // attempt when ForwardsAttemptId, else ours.
  std::string AttemptIdField;
  bool ForwardsAttemptId = false;
  std::string RequestIdField;      // our id of the request
  std::string ExpectedServerField; // the server that may run it
  std::string CallerServiceField;  // of the VM where the request began

  // In answers of backend servers.
  std::string NotRunField;    // proof that the server did not run the request
  std::string SignatureField; // without it a success is not the server's
  bool EchoesAttemptId =
      false; // answers without AttemptField's value are others'
  bool CloseDelimitedIsComplete =
      false; // an orderly close ends an answer without length

  // In answers to callers.
  bool AddsMetadataFields = true;    // verdict, reason, request id and server
  bool StatusConfirmsNotRun = false; // each refusal with proof is 503 or 429
  bool FractionalRetryAfter = false;
  bool IssuesActionIds = true;
};

// nativeDialect() is this project's own.
HttpDialect nativeDialect();

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_DIALECT_H
