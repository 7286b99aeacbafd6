#include "currantgauge/http/dialect.h"

#include "currantgauge/http/fields.h"

namespace currantgauge::http {

HttpDialect nativeDialect() {
  HttpDialect Native;
  Native.TimeoutField = TimeoutField;
  Native.WorkspaceField = WorkspaceField;
  Native.IdempotencyKeyField = IdempotencyKeyField;
  Native.ActionIdField = ActionIdField;
  Native.KeyField = KeyField;
  Native.AttemptIdField = AttemptIdField;
  Native.RequestIdField = RequestIdField;
  Native.SentWorkspaceField = WorkspaceField;
  return Native;
}

} // namespace currantgauge::http
