"""A loopback proxy of one link: delays, resets, cuts one way, or goes silent without closing anything."""

import asyncio

from http_text import reset

WELL, DELAY, CUT_THERE, CUT_BACK, SILENT, REFUSE = "well", "delay", "cut-there", "cut-back", "silent", "refuse"


class Proxy:
    def __init__(self, port, target):
        self.port, self.target = port, target  # target: port on loopback
        self.mood, self.delay = WELL, 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    def become(self, mood, delay=0.0):
        self.mood, self.delay = mood, delay

    def reset_all(self):
        for it in list(self.writers):
            reset(it)

    async def serve(self, reader, writer):
        if self.mood == REFUSE:
            reset(writer)
            return
        try:
            there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, there_writer}
        await asyncio.gather(self.carry(reader, there_writer, CUT_THERE), self.carry(there_reader, writer, CUT_BACK))
        self.writers -= {writer, there_writer}

    async def carry(self, reader, writer, cut_by):
        """Bytes that a cut holds up are carried when it ends, as a network would by sending again."""
        try:
            while data := await reader.read(65536):
                while self.mood in (cut_by, SILENT):
                    await asyncio.sleep(0.02)
                if self.mood == DELAY:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            reset(writer)
