#include "currantgauge/http/dialect.h"

#include "currantgauge/http/fields.h"

namespace currantgauge::http {

Dialect nativeDialect() {
  Dialect Native;
  Native.TimeoutField = TimeoutField;
  Native.WorkspaceField = WorkspaceField;
  Native.KeyField = KeyField;
  Native.ActionField = ActionField;
  Native.AttemptField = AttemptIdField;
  Native.RequestField = RequestIdField;
  return Native;
}

} // namespace currantgauge::http
