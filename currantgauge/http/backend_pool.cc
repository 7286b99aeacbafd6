#include "currantgauge/http/backend_pool.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <utility>

namespace currantgauge::http {
namespace {

using Clock = std::chrono::steady_clock;

// Older connections are not reused.
constexpr std::chrono::seconds ConnectionAgeLimit{60};
constexpr std::size_t MaxIdleConnectionsPerServer = 16;
// Bounds the memory of a connection; one with more refusals is not reused.
constexpr std::size_t MaxRefusedAttempts = 256;

// Returns true when the connection is young enough, not idle for too long and
// still open. If the server closed it, recv() returns 0 instead of EAGAIN.
bool isUsable(BackendConnection &Connection, Clock::time_point Now) {
  if (Now - Connection.CreatedAt > ConnectionAgeLimit ||
      Now - Connection.IdleSince > Connection.IdleLimit)
    return false;
  char Byte = 0;
  ssize_t Size = ::recv(Connection.Stream.socket().native_handle(), &Byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  return Size < 0 && errno == EAGAIN;
}

} // namespace

// Prefers the most recently used one: if that was idle for longer than MaxIdle,
// so were all others. A server may repeat a refusal, which would pass for the
// answer to a second request with the same attempt id.
std::unique_ptr<BackendConnection>
takeIdleConnection(BackendPool &Pool, const base::NetAddress &Address,
                   base::Duration MaxIdle, const std::string &AttemptId) {
  auto &Idle = Pool.Idle[Address];
  for (std::size_t Index = Idle.size(); Index-- > 0;) {
    bool IdleTooLong = MaxIdle > base::Duration{} &&
                       Clock::now() - Idle[Index]->IdleSince >
                           std::chrono::microseconds(MaxIdle.Micros);
    if (IdleTooLong)
      return nullptr;
    if (Idle[Index]->RefusedAttempts.contains(AttemptId))
      continue;
    std::unique_ptr<BackendConnection> Taken = std::move(Idle[Index]);
    Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(Index));
    if (isUsable(*Taken, Clock::now()))
      return Taken;
  }
  return nullptr;
}

void returnToPool(BackendPool &Pool, const base::NetAddress &Address,
                  std::unique_ptr<BackendConnection> Connection) {
  auto &Idle = Pool.Idle[Address];
  if (!Connection->Reusable || Idle.size() >= MaxIdleConnectionsPerServer ||
      Connection->RefusedAttempts.size() >= MaxRefusedAttempts)
    return;
  Connection->IdleSince = Clock::now();
  Connection->Stream.expires_never();
  Idle.push_back(std::move(Connection));
}

} // namespace currantgauge::http
