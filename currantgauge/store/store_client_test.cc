#include "currantgauge/store/store_client.h"

#include "tests/stand_ins/platform_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace currantgauge::store {
namespace {

// Long enough that no result depends on the speed of the machine.
constexpr base::Duration LongTimeout = base::seconds(20);

struct Fixture {
  boost::asio::io_context Io;
  stand_ins::PlatformState Service;
  StoreClient Client{base::NetAddress(
      "127.0.0.1:" +
      std::to_string(stand_ins::servePlatform(this->Io, this->Service, 0)))};
};

base::StoreResult call(Fixture &Test, const base::StoreOperation &Operation,
                       base::Duration Timeout = LongTimeout) {
  std::optional<base::StoreResult> Result;
  callStore(Test.Client, Test.Io, Operation, Timeout,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  while (!Result)
    Test.Io.run_one();
  return *Result;
}

base::WriteRows insert(const std::string &Key, const std::string &Value) {
  return {{base::RowWrite{"claims", Key, Value, base::WriteCondition::IfAbsent,
                          "", false}}};
}

} // namespace

TEST_CASE("rows, transactions, scans and objects are written and read") {
  Fixture Test;
  const std::string Key = "a/b c\xC3\xA9";
  CHECK(call(Test, base::ReadRow{"claims", Key}).Status ==
        base::StoreStatus::NotFound);
  CHECK(call(Test, insert(Key, "one")).Status == base::StoreStatus::Done);
  base::StoreResult Conflict = call(Test, insert(Key, "two"));
  CHECK(Conflict.Status == base::StoreStatus::ConditionFailed);
  REQUIRE(Conflict.Rows.size() == 1);
  CHECK(Conflict.Rows[0].Value == "one");
  base::WriteRows Transaction{
      {base::RowWrite{"claims", Key, "three", base::WriteCondition::IfMatch,
                      Conflict.Rows[0].ETag, false},
       base::RowWrite{"claims", "x", "1", base::WriteCondition::IfAbsent, "",
                      false}}};
  CHECK(call(Test, Transaction).Status == base::StoreStatus::Done);
  CHECK(call(Test, Transaction).Status == base::StoreStatus::ConditionFailed);
  base::StoreResult Scan = call(Test, base::ScanRows{"claims", "", 10});
  REQUIRE(Scan.Rows.size() == 2);
  CHECK(Scan.Rows[0].Value == "three");
  CHECK(call(Test, base::PutObject{"head", std::string("\0\xff", 2)}).Status ==
        base::StoreStatus::Done);
  CHECK(call(Test, base::GetObject{"head"}).Bytes == std::string("\0\xff", 2));
  for (int Try = 0; Try < 2; ++Try)
    CHECK(call(Test, base::DeleteObject{"head"}).Status ==
          base::StoreStatus::Done);
  CHECK(call(Test, base::GetObject{"head"}).Status ==
        base::StoreStatus::NotFound);
}

TEST_CASE("a write whose response is lost is Unknown and is not retried") {
  Fixture Test;
  Test.Service.Faults.LoseAnswers = 1;
  CHECK(call(Test, insert("k", "mine")).Status == base::StoreStatus::Unknown);
  CHECK(Test.Service.Writes == 1);
  CHECK(call(Test, base::ReadRow{"claims", "k"}).Rows.at(0).Value == "mine");
}

TEST_CASE("a write that the service refuses is not applied") {
  Fixture Test;
  Test.Service.Faults.Outage = "refuse";
  CHECK(call(Test, insert("k", "v")).Status == base::StoreStatus::Unavailable);
  CHECK(Test.Service.Store.Tables["claims"].empty());
  Fixture Limited;
  call(Limited, insert("a", "v"));
  Limited.Service.Faults.WritesPerSecond = 1e-9; // answers writes with 429
  double Before = Limited.Client.Writes.PerSecond;
  CHECK(call(Limited, insert("b", "v"), base::milliseconds(50)).Status ==
        base::StoreStatus::Unavailable);
  CHECK(Limited.Client.Writes.PerSecond < Before);
}

TEST_CASE("a write is retried after the service limited the rate") {
  Fixture Test;
  call(Test, insert("a", "v"));
  Test.Service.Faults.WritesPerSecond = 1e-9; // answers writes with 429
  std::optional<base::StoreResult> Result;
  callStore(Test.Client, Test.Io, insert("b", "v"), LongTimeout,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  while (Test.Service.RateLimited < 2)
    Test.Io.run_one();
  CHECK_FALSE(Result);
  Test.Service.Faults.WritesPerSecond = 0; // unlimited
  while (!Result)
    Test.Io.run_one();
  CHECK(Result->Status == base::StoreStatus::Done);
  CHECK(Test.Service.Writes == 2);
}

TEST_CASE("a call to an unresponsive service ends at its timeout") {
  Fixture Test;
  Test.Service.Faults.Outage = "silent";
  CHECK(call(Test, insert("k", "v"), base::milliseconds(50)).Status ==
        base::StoreStatus::Unknown);
  CHECK(
      call(Test, base::ReadRow{"claims", "k"}, base::milliseconds(50)).Status ==
      base::StoreStatus::Unavailable);
}

TEST_CASE("a write is Unavailable if the connection is refused") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  std::string Port = std::to_string(Acceptor.local_endpoint().port());
  Acceptor.close();
  Fixture Test;
  Test.Client.Address = base::NetAddress("127.0.0.1:" + Port);
  CHECK(call(Test, insert("k", "v")).Status == base::StoreStatus::Unavailable);
}

TEST_CASE("a read is retried until the service is available") {
  Fixture Test;
  call(Test, insert("k", "v"));
  Test.Service.Faults.Outage = "refuse";
  std::optional<base::StoreResult> Result;
  callStore(Test.Client, Test.Io, base::ReadRow{"claims", "k"}, LongTimeout,
            [&](base::StoreResult Answer) { Result = std::move(Answer); });
  for (int Steps = 0; Steps < 30 && !Result; ++Steps)
    Test.Io.run_one();
  CHECK_FALSE(Result);
  Test.Service.Faults.Outage.clear();
  while (!Result)
    Test.Io.run_one();
  CHECK(Result->Status == base::StoreStatus::Done);
}

} // namespace currantgauge::store
