#include "verbenaridge/plan_codec/plan_codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "verbenaridge/plan_codec/internal/json_reader.h"

namespace verbenaridge::plan_codec {
namespace {

using internal::Json;
using internal::ObjectReader;
using internal::Problems;

constexpr std::size_t kMaxTextBytes = 4'000'000;
// nlohmann's parser does not recurse, but destroying and copying deeply nested values takes time. A
// plan needs five levels.
constexpr int kMaxDepth = 16;

template <class Id>
Json Names(const std::vector<Id>& ids) {
  Json names = Json::array();
  for (const Id& id : ids) names.push_back(id.value());
  return names;
}

Json ToJson(const plans::Edit& edit) {
  return {{"version", edit.version},
          {"edit_id", edit.edit_id},
          {"author", edit.author},
          {"unix_ms", edit.unix_ms}};
}

Json ToJson(const plans::Plan& plan) {
  Json services = Json::array();
  for (const plans::ServicePermission& permission : plan.services) {
    services.push_back(
        {{"service", permission.service.value()}, {"operations", permission.operations}});
  }
  Json priorities = Json::array();
  for (Priority priority : plan.priorities) priorities.push_back(PriorityName(priority));
  return {{"id", plan.id.value()},
          {"models", Names(plan.models)},
          {"services", std::move(services)},
          {"priorities", std::move(priorities)},
          {"requests_per_second", plan.requests_per_second},
          {"tokens_per_second", plan.tokens_per_second},
          {"concurrent_cost_seconds", plan.concurrent_cost_seconds},
          {"max_prompt_tokens", plan.max_prompt_tokens}};
}

Json ToJson(const plans::AccountPlan& account) {
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(account.default_deadline);
  return {{"client_account", account.client_account.value()},
          {"plan", account.plan.value()},
          {"key_hashes", account.key_hashes},
          {"weight", account.weight},
          {"default_priority", PriorityName(account.default_priority)},
          {"default_deadline_ms", deadline.count()}};
}

template <class Item>
Json ToArray(const std::vector<Item>& items) {
  Json array = Json::array();
  for (const Item& item : items) array.push_back(ToJson(item));
  return array;
}

std::string Dump(const Json& json, Layout layout) {
  // Invalid UTF-8 cannot come from DecodeDocument. It is replaced so that this function never
  // throws.
  return json.dump(layout == Layout::kIndented ? 2 : -1, ' ', false,
                   Json::error_handler_t::replace);
}

Priority ReadPriority(const Json& json, const std::string& path, Problems& problems) {
  const auto* name = json.get_ptr<const std::string*>();
  const auto priority = name == nullptr ? std::nullopt : ParsePriority(*name);
  if (!priority) problems.push_back({path, "must be \"urgent\", \"standard\" or \"background\""});
  return priority.value_or(Priority::kStandard);
}

plans::Edit ReadEdit(const Json& json, const std::string& path, Problems& problems) {
  ObjectReader reader(json, path, problems);
  plans::Edit edit;
  edit.version = static_cast<PlanVersion>(reader.WholeNumber("version"));
  edit.edit_id = reader.String("edit_id");
  edit.author = reader.String("author");
  edit.unix_ms = reader.WholeNumber("unix_ms");
  reader.Finish();
  return edit;
}

plans::ServicePermission ReadPermission(const Json& json, const std::string& path,
                                        Problems& problems) {
  ObjectReader reader(json, path, problems);
  plans::ServicePermission permission;
  permission.service = ServiceId(reader.String("service"));
  permission.operations = reader.Strings<std::string>("operations");
  reader.Finish();
  return permission;
}

plans::Plan ReadPlan(const Json& json, const std::string& path, Problems& problems) {
  ObjectReader reader(json, path, problems);
  plans::Plan plan;
  plan.id = PlanId(reader.String("id"));
  plan.models = reader.Strings<ModelId>("models");
  reader.Each("services", [&](const Json& item, const std::string& item_path) {
    plan.services.push_back(ReadPermission(item, item_path, problems));
  });
  reader.Each("priorities", [&](const Json& item, const std::string& item_path) {
    plan.priorities.push_back(ReadPriority(item, item_path, problems));
  });
  plan.requests_per_second = reader.Number("requests_per_second");
  plan.tokens_per_second = reader.Number("tokens_per_second");
  plan.concurrent_cost_seconds = reader.Number("concurrent_cost_seconds");
  plan.max_prompt_tokens = reader.WholeNumber("max_prompt_tokens");
  reader.Finish();
  return plan;
}

// Keeps the conversion to nanoseconds within 64 bits; CheckDocument enforces kMaxDeadline.
constexpr std::int64_t kMaxDeadlineMs = 1'000'000'000;

plans::AccountPlan ReadAccount(const Json& json, const std::string& path, Problems& problems) {
  ObjectReader reader(json, path, problems);
  plans::AccountPlan account;
  account.client_account = ClientAccountId(reader.String("client_account"));
  account.plan = PlanId(reader.String("plan"));
  account.key_hashes = reader.Strings<std::string>("key_hashes");
  account.weight = reader.Number("weight");
  if (const Json* priority = reader.Find("default_priority")) {
    account.default_priority = ReadPriority(*priority, path + "/default_priority", problems);
  }
  const std::int64_t deadline_ms = reader.WholeNumber("default_deadline_ms");
  if (deadline_ms > kMaxDeadlineMs) reader.Report("default_deadline_ms", "is too large");
  account.default_deadline = std::chrono::milliseconds(std::min(deadline_ms, kMaxDeadlineMs));
  reader.Finish();
  return account;
}

// Parses the text, with limits against text crafted to exhaust memory or the stack.
std::optional<Json> Parse(std::string_view text, Problems& problems) {
  if (text.size() > kMaxTextBytes) {
    problems.push_back({"", "is larger than 4000000 bytes"});
    return std::nullopt;
  }
  bool too_deep = false;
  const auto limit_depth = [&](int depth, Json::parse_event_t, Json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return depth <= kMaxDepth;
  };
  Json json = Json::parse(text.begin(), text.end(), limit_depth, /*allow_exceptions=*/false);
  if (too_deep) {
    problems.push_back({"", "is nested too deeply"});
  } else if (json.is_discarded()) {
    problems.push_back({"", "is not valid JSON"});
  }
  if (!problems.empty()) return std::nullopt;
  return json;
}

template <class T, class Read>
Decoded<T> Decode(std::string_view text, Read read) {
  Decoded<T> decoded;
  const std::optional<Json> json = Parse(text, decoded.problems);
  if (!json) return decoded;
  ObjectReader reader(*json, "", decoded.problems);
  T value = read(reader);
  reader.Finish();
  if (decoded.problems.empty()) decoded.value = std::move(value);
  return decoded;
}

void ReadLists(ObjectReader& reader, std::vector<plans::AccountPlan>& accounts,
               std::vector<plans::Plan>& plans) {
  reader.Each("client_accounts", [&](const Json& item, const std::string& path) {
    accounts.push_back(ReadAccount(item, path, reader.problems()));
  });
  reader.Each("plans", [&](const Json& item, const std::string& path) {
    plans.push_back(ReadPlan(item, path, reader.problems()));
  });
}

void ReadHistory(ObjectReader& reader, std::vector<plans::Edit>& history) {
  reader.Each("history", [&](const Json& item, const std::string& path) {
    history.push_back(ReadEdit(item, path, reader.problems()));
  });
}

}  // namespace

std::string EncodeDocument(const plans::PlanDocument& document, Layout layout) {
  const Json json = {{"edit", ToJson(document.edit)},
                     {"client_accounts", ToArray(document.accounts)},
                     {"plans", ToArray(document.plans)},
                     {"history", ToArray(document.history)}};
  return Dump(json, layout);
}

Decoded<plans::PlanDocument> DecodeDocument(std::string_view text) {
  return Decode<plans::PlanDocument>(text, [](ObjectReader& reader) {
    plans::PlanDocument document;
    if (reader.has("edit")) {
      document.edit = ReadEdit(*reader.Find("edit"), "/edit", reader.problems());
    }
    if (reader.has("history")) ReadHistory(reader, document.history);
    ReadLists(reader, document.accounts, document.plans);
    return document;
  });
}

std::string EncodeDelta(const plans::PlanDelta& delta) {
  const Json json = {{"from_version", delta.from_version},
                     {"edit", ToJson(delta.edit)},
                     {"history", ToArray(delta.history)},
                     {"client_accounts", ToArray(delta.accounts)},
                     {"removed_client_accounts", Names(delta.removed_accounts)},
                     {"plans", ToArray(delta.plans)},
                     {"removed_plans", Names(delta.removed_plans)},
                     // A string, because not every JSON implementation keeps 64-bit numbers exact.
                     {"result_digest", std::to_string(delta.result_digest)}};
  return Dump(json, Layout::kCompact);
}

Decoded<plans::PlanDelta> DecodeDelta(std::string_view text) {
  return Decode<plans::PlanDelta>(text, [](ObjectReader& reader) {
    plans::PlanDelta delta;
    delta.from_version = static_cast<PlanVersion>(reader.WholeNumber("from_version"));
    if (const Json* edit = reader.Find("edit")) {
      delta.edit = ReadEdit(*edit, "/edit", reader.problems());
    }
    ReadHistory(reader, delta.history);
    ReadLists(reader, delta.accounts, delta.plans);
    delta.removed_accounts = reader.Strings<ClientAccountId>("removed_client_accounts");
    delta.removed_plans = reader.Strings<PlanId>("removed_plans");
    const std::string digest = reader.String("result_digest");
    const char* end = digest.data() + digest.size();
    const auto parsed = std::from_chars(digest.data(), end, delta.result_digest);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      reader.Report("result_digest", "must be a decimal number");
    }
    return delta;
  });
}

std::string EncodeConfirmed(PlanVersion version) {
  return Dump(Json{{"version", version}}, Layout::kCompact);
}

std::optional<PlanVersion> DecodeConfirmed(std::string_view text) {
  return Decode<PlanVersion>(text,
                             [](ObjectReader& reader) {
                               return static_cast<PlanVersion>(reader.WholeNumber("version"));
                             })
      .value;
}

Decoded<plans::Catalogue> DecodeCatalogue(std::string_view text) {
  return Decode<plans::Catalogue>(text, [](ObjectReader& reader) {
    plans::Catalogue catalogue;
    for (ModelId& model : reader.Strings<ModelId>("models")) {
      catalogue.models.insert(std::move(model));
    }
    const Json* services = reader.Find("services");
    if (services == nullptr) return catalogue;
    ObjectReader service_reader(*services, "/services", reader.problems());
    if (!services->is_object()) return catalogue;
    for (const auto& [name, value] : services->items()) {
      const auto operations = service_reader.Strings<std::string>(name.c_str());
      catalogue.services[ServiceId(name)] = {operations.begin(), operations.end()};
    }
    return catalogue;
  });
}

}  // namespace verbenaridge::plan_codec
