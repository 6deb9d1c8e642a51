#include "scaleshed/testing/platform_model.h"

namespace scaleshed::testing {

PlatformModel::ReadResult PlatformModel::Get(const std::string& key, Time now) {
  ++reads_;
  const auto it = entries_.find(key);
  if (it == entries_.end() || now >= it->second.expires) return Absent{};
  return it->second.value;
}

PlatformModel::WriteResult PlatformModel::Put(const KeyWrite& write, Time now) {
  ++writes_;
  const auto it = entries_.find(write.key);
  const bool present = it != entries_.end() && now < it->second.expires;
  const std::uint64_t version = present ? it->second.value.version : 0;
  if (version != write.expected) return Conflict{};
  Entry entry{.value = {.value = write.value, .version = version + 1}};
  if (write.lifetime > Duration::zero()) entry.expires = now + write.lifetime;
  entries_[write.key] = entry;
  return entry.value;
}

void PlatformModel::SetInstances(std::vector<Instance> instances, Time now) {
  lists_.emplace_back(now, std::move(instances));
}

std::vector<Instance> PlatformModel::List(Time now) {
  ++reads_;
  while (lists_.size() > 1 && lists_[1].first + list_lag_ <= now) {
    lists_.pop_front();
  }
  return lists_.empty() ? std::vector<Instance>() : lists_.front().second;
}

std::map<std::string, KeyValue> PlatformModel::Save() const {
  std::map<std::string, KeyValue> saved;
  for (const auto& [key, entry] : entries_) saved[key] = entry.value;
  return saved;
}

void PlatformModel::Restore(const std::map<std::string, KeyValue>& saved) {
  entries_.clear();
  for (const auto& [key, value] : saved) entries_[key] = Entry{.value = value};
}

}  // namespace scaleshed::testing
