/// The operators' HTTP routes for tickets and the configuration.
///
/// POST /tickets (INI)        submit       GET /tickets             list
/// POST /tickets/check (INI)  check        GET /tickets/N           show
/// POST /tickets/N/withdraw   withdraw     GET /tickets/N/revert    INI of a ticket that goes back
/// GET  /configuration        INI of a ticket with all there is
/// Answers are JSON, but for the two of INI; failures carry code, name and detail.
#pragma once

#include "control/ticket_controller.h"
#include "operate/server.h"

namespace damask {

/// Before server.start(). The desk must outlive the server.
void addTicketRoutes(OperateServer &server, TicketController &ticketController);

} // namespace damask
