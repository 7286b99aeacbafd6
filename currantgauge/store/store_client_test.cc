#include "currantgauge/store/store_client.h"

#include "tests/stand_ins/platform_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace currantgauge::store {
namespace {

// Generous, because a test never passes or fails by speed.
constexpr base::Duration Ample = base::seconds(20);

struct Fixture {
  boost::asio::io_context Io;
  stand_ins::PlatformState Service;
  StoreClient Client{base::NetAddress(
      "127.0.0.1:" +
      std::to_string(stand_ins::servePlatform(this->Io, this->Service, 0)))};
};

base::StoreResult call(Fixture &With, const base::StoreOperation &Operation,
                       base::Duration TimeLimit = Ample) {
  std::optional<base::StoreResult> Result;
  callStore(With.Client, With.Io, Operation, TimeLimit,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  while (!Result)
    With.Io.run_one();
  return *Result;
}

base::WriteRows insert(const std::string &Key, const std::string &Value) {
  return {{base::RowWrite{"claims", Key, Value, base::WriteCondition::IfAbsent,
                          "", false}}};
}

} // namespace

TEST_CASE("rows, transactions, scans and objects") {
  Fixture With;
  const std::string Key = "a/b c\xC3\xA9";
  CHECK(call(With, base::ReadRow{"claims", Key}).Status ==
        base::StoreStatus::NotFound);
  CHECK(call(With, insert(Key, "one")).Status == base::StoreStatus::Done);
  base::StoreResult Second = call(With, insert(Key, "two"));
  CHECK(Second.Status == base::StoreStatus::ConditionFailed);
  REQUIRE(Second.Rows.size() == 1);
  CHECK(Second.Rows[0].Value == "one");
  base::WriteRows Both{
      {base::RowWrite{"claims", Key, "three", base::WriteCondition::IfMatch,
                      Second.Rows[0].ETag, false},
       base::RowWrite{"claims", "x", "1", base::WriteCondition::IfAbsent, "",
                      false}}};
  CHECK(call(With, Both).Status == base::StoreStatus::Done);
  CHECK(call(With, Both).Status == base::StoreStatus::ConditionFailed);
  base::StoreResult Scan = call(With, base::ScanRows{"claims", "", 10});
  REQUIRE(Scan.Rows.size() == 2);
  CHECK(Scan.Rows[0].Value == "three");
  CHECK(call(With, base::PutObject{"head", std::string("\0\xff", 2)}).Status ==
        base::StoreStatus::Done);
  CHECK(call(With, base::GetObject{"head"}).Bytes == std::string("\0\xff", 2));
  for (int Try = 0; Try < 2; ++Try)
    CHECK(call(With, base::DeleteObject{"head"}).Status ==
          base::StoreStatus::Done);
  CHECK(call(With, base::GetObject{"head"}).Status ==
        base::StoreStatus::NotFound);
}

TEST_CASE("a write whose answer is lost is unknown and is not sent again") {
  Fixture With;
  With.Service.Faults.LoseAnswers = 1;
  CHECK(call(With, insert("k", "mine")).Status == base::StoreStatus::Unknown);
  CHECK(With.Service.Writes == 1);
  CHECK(call(With, base::ReadRow{"claims", "k"}).Rows.at(0).Value == "mine");
}

TEST_CASE("a write that the service refuses was not applied") {
  Fixture With;
  With.Service.Faults.Outage = "refuse";
  CHECK(call(With, insert("k", "v")).Status == base::StoreStatus::Unavailable);
  CHECK(With.Service.Store.Tables["claims"].empty());
  Fixture Limited;
  call(Limited, insert("a", "v"));
  Limited.Service.Faults.WritesPerSecond = 1e-9;
  double Before = Limited.Client.Writes.PerSecond;
  CHECK(call(Limited, insert("b", "v"), base::milliseconds(50)).Status ==
        base::StoreStatus::Unavailable);
  CHECK(Limited.Client.Writes.PerSecond < Before);
}

TEST_CASE("a write goes again when the service asked for fewer") {
  Fixture With;
  call(With, insert("a", "v"));
  With.Service.Faults.WritesPerSecond = 1e-9;
  std::optional<base::StoreResult> Result;
  callStore(With.Client, With.Io, insert("b", "v"), Ample,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  while (With.Service.RateLimited < 2)
    With.Io.run_one();
  CHECK_FALSE(Result);
  With.Service.Faults.WritesPerSecond = 0;
  while (!Result)
    With.Io.run_one();
  CHECK(Result->Status == base::StoreStatus::Done);
  CHECK(With.Service.Writes == 2);
}

TEST_CASE("a silent service ends a call at its limit") {
  Fixture With;
  With.Service.Faults.Outage = "silent";
  CHECK(call(With, insert("k", "v"), base::milliseconds(50)).Status ==
        base::StoreStatus::Unknown);
  CHECK(
      call(With, base::ReadRow{"claims", "k"}, base::milliseconds(50)).Status ==
      base::StoreStatus::Unavailable);
}

TEST_CASE("a service that is not there was never asked") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Taken(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  std::string Port = std::to_string(Taken.local_endpoint().port());
  Taken.close();
  Fixture With;
  With.Client.Address = base::NetAddress("127.0.0.1:" + Port);
  CHECK(call(With, insert("k", "v")).Status == base::StoreStatus::Unavailable);
}

TEST_CASE("a read is repeated until the service is back") {
  Fixture With;
  call(With, insert("k", "v"));
  With.Service.Faults.Outage = "refuse";
  std::optional<base::StoreResult> Result;
  callStore(With.Client, With.Io, base::ReadRow{"claims", "k"}, Ample,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  for (int Steps = 0; Steps < 30 && !Result; ++Steps)
    With.Io.run_one();
  CHECK_FALSE(Result);
  With.Service.Faults.Outage.clear();
  while (!Result)
    With.Io.run_one();
  CHECK(Result->Status == base::StoreStatus::Done);
}

} // namespace currantgauge::store
