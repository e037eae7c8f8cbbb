/// The operators' HTTP routes for tickets and the configuration.
///
/// POST /tickets (INI)        submit       GET /tickets             list
/// POST /tickets/check (INI)  check        GET /tickets/N           show
/// POST /tickets/N/withdraw   withdraw     GET /tickets/N/revert    INI of the inverse ticket
/// GET  /configuration        INI of a ticket with all objects
/// Responses are JSON, except the two in INI; errors carry code, name and detail.
#pragma once

#include "control/ticket_controller.h"
#include "operate/server.h"

namespace damask {

/// Call before server.start(). The controller must outlive the server.
void addTicketRoutes(OperateServer &server, TicketController &ticketController);

} // namespace damask
