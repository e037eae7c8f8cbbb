#include "programs/damaskctl/advice.h"

#include <algorithm>

namespace damask {

std::string_view adviceFor(Code code)
{
    switch (code) {
    case Code::BadTicket:
        return "Correct what is named above and try `damaskctl ticket check FILE`, which changes nothing.";
    case Code::StaleTicket:
        return "Someone changed it since: compare the lines above, set based-on to the version there now, "
               "take a new number, and check again.";
    case Code::TicketNumberTaken:
        return "Take the next free number: `damaskctl ticket list` shows it.";
    case Code::TicketLosesCapacity:
        return "Keep a target that takes work, or write allow-capacity-loss = yes under [ticket] under a new number.";
    case Code::TicketWaiting:
        return "Look who still has to confirm: `damaskctl ticket show NUMBER`.";
    case Code::UnknownTicket:
        return "`damaskctl ticket list` shows all that are kept.";
    case Code::BadConfiguration:
        return "The document in the store is damaged: instances keep what they have; tell who looks after the store.";
    case Code::OlderRevision:
        return "The store was put back to an older state: instances keep what they have; see docs/operate/tickets.md.";
    case Code::TicketBusy:
        return "Nothing was kept: submit the same again once the other has ended, or use --wait=30s.";
    case Code::StoreUnavailable:
        return "Nothing was changed. Callers are served on; try again when the store is back.";
    case Code::StoreConflict:
        return "Nothing was changed. Submit the same again.";
    case Code::StoreUnknown:
        return "Send the same ticket again, or ask with `damaskctl ticket show NUMBER`: it takes effect once.";
    case Code::PeerUnavailable:
        return "Check that damask-keeper runs there and give its operators' port by --keeper=ADDR:PORT "
               "(--entry for why).";
    case Code::TokenRefused:
        return "Give the operators' token by --token-file=FILE.";
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
