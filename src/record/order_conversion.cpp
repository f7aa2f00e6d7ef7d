#include "record/order_conversion.hpp"

#include <fmt/format.h>

#include <variant>
#include <vector>

namespace micaroad::record {
namespace {

void add_methods(const std::vector<MethodId>& methods, records::Order& record) {
    for (const MethodId method : methods) {
        record.add_method(method.value);
    }
}

void write(const order::SetTableEntry& entry, records::Order& record) {
    record.set_kind(records::Order::SET_LINE);
    record.set_table(entry.table.value);
    record.set_id(entry.server.value);
    record.set_figure(entry.weight);
}

void write(const order::ClearTable& clear, records::Order& record) {
    record.set_kind(records::Order::CLEAR_TABLE);
    record.set_table(clear.table.value);
}

void write(const order::BindProxy& binding, records::Order& record) {
    record.set_kind(records::Order::BIND);
    record.set_table(binding.table.value);
    record.set_proxy(binding.proxy.value);
    add_methods(binding.methods, record);
}

void write(const order::SetAdmission& admission, records::Order& record) {
    record.set_kind(records::Order::SET_LEVEL);
    record.set_figure(admission.amount);
    record.set_further_tries(static_cast<int>(admission.retry_policy));
    if (admission.table) {
        record.set_table(admission.table->value);
    }
    add_methods(admission.methods, record);
}

void write(const order::SetWithdrawn& withdrawal, records::Order& record) {
    record.set_kind(records::Order::WITHDRAW);
    record.set_id(withdrawal.server.value);
    record.set_flag(withdrawal.withdrawn);
}

void write(const order::SendNonce& send, records::Order& record) {
    record.set_kind(records::Order::MARK);
    record.set_mark(send.nonce.value);
    record.set_flag(send.to_all);
}

void write(const order::StartTimer& start, records::Order& record) {
    record.set_kind(records::Order::START_TIMER);
    record.set_timer(start.timer.value);
    record.set_after(start.after.count());
}

void write(const order::CheckHealth& check, records::Order& record) {
    record.set_kind(records::Order::PROBE);
    record.set_id(check.server.value);
}

void write(const order::Subscribe& subscribe, records::Order& record) {
    record.set_kind(records::Order::SUBSCRIBE);
    record.set_flag(subscribe.on);
}

void write(const order::FetchList& /*fetch*/, records::Order& record) {
    record.set_kind(records::Order::FETCH_LIST);
}

void write(const order::SendPeerMessage& message, records::Order& record) {
    record.set_kind(records::Order::TELL_PEER);
    record.set_text(message.text);
    if (message.to) {
        record.set_planner(message.to->value);
    }
}

void write(const order::LogLine& line, records::Order& record) {
    record.set_kind(records::Order::LOG_LINE);
    record.set_text(line.text);
}

}  // namespace

records::Order to_record(const Order& order) {
    records::Order record;
    std::visit([&record](const auto& concrete_order) { write(concrete_order, record); }, order);
    return record;
}

std::string describe(const records::Order& order) {
    std::string text = records::Order::Kind_Name(order.kind());
    if (order.has_table()) {
        text += fmt::format(" table {}", order.table());
    }
    if (order.has_id()) {
        text += " " + order.id();
    }
    if (order.has_proxy()) {
        text += fmt::format(" proxy {}", order.proxy());
    }
    if (order.has_figure()) {
        text += fmt::format(" {:.6g}", order.figure());
    }
    if (order.has_flag()) {
        text += order.flag() ? " yes" : " no";
    }
    if (order.has_mark()) {
        text += fmt::format(" mark {}", order.mark());
    }
    return text;
}

}  // namespace micaroad::record
