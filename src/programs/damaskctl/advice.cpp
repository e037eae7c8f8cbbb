#include "programs/damaskctl/advice.h"

#include <algorithm>

namespace damask {

std::string_view adviceFor(Code code)
{
    switch (code) {
    case Code::BadTicket:
        return "Correct the errors above and run `damaskctl ticket check FILE`, which changes nothing.";
    case Code::StaleTicket:
        return "The object has changed since: compare the lines above, set based-on to the current version, "
               "use a new number, and check again.";
    case Code::TicketNumberTaken:
        return "Use the next free number, which `damaskctl ticket list` shows.";
    case Code::TicketLosesCapacity:
        return "Keep a target that accepts calls, or set allow-capacity-loss = yes in [ticket] under a new number.";
    case Code::TicketWaiting:
        return "`damaskctl ticket show NUMBER` lists the instances that still have to confirm.";
    case Code::UnknownTicket:
        return "`damaskctl ticket list` shows all stored tickets.";
    case Code::BadConfiguration:
        return "The document in the store is damaged. Instances keep their configuration; inform the store's operator.";
    case Code::OlderRevision:
        return "The store was reset to an older state. Instances keep their configuration; see "
               "docs/operate/tickets.md.";
    case Code::TicketBusy:
        return "Nothing was stored: submit the same ticket again once the other has ended, or use --wait=30s.";
    case Code::StoreUnavailable:
        return "Nothing was changed. Calls are still served; try again when the store is reachable.";
    case Code::StoreConflict:
        return "Nothing was changed. Submit the same ticket again.";
    case Code::StoreUnknown:
        return "Submit the same ticket again, or check with `damaskctl ticket show NUMBER`: it takes effect once.";
    case Code::PeerUnavailable:
        return "Check that damask-keeper runs there and pass its operators' port with --keeper=ADDR:PORT "
               "(--entry for why).";
    case Code::TokenRefused:
        return "Pass the operators' token with --token-file=FILE.";
    case Code::BadUsage:
        return "`damaskctl --help` shows all commands.";
    default:
        return "";
    }
}

Code codeFromNumber(int number)
{
    const auto codes = codeTable();
    const auto it = std::find_if(codes.begin(), codes.end(),
                                 [number](const CodeInfo &info) { return codeNumber(info.code) == number; });
    return it == codes.end() ? Code::SystemError : it->code;
}

} // namespace damask
