#include "base/result.h"
#include "settings/ini.h"

#include <criterion/criterion.h>
#include <string>

using namespace damask;

Test(docs, codes_page_lists_each_code_with_its_meaning)
{
    const auto page = readFile(std::string(DAMASK_SOURCE_DIR) + "/docs/CODES.md");
    cr_assert(page.has_value());
    size_t rows = 0;
    for (const CodeInfo &it : codeTable()) {
        const std::string row = "| " + std::to_string(codeNumber(it.code)) + " | " + std::string(it.name) + " | "
                                + std::string(it.meaning) + " |";
        cr_assert(page->find(row) != std::string::npos, "docs/CODES.md lacks: %s", row.c_str());
        ++rows;
    }
    size_t written = 0;
    for (size_t at = page->find("\n| "); at != std::string::npos; at = page->find("\n| ", at + 1)) {
        ++written;
    }
    cr_assert(written == rows + 2, "docs/CODES.md has a row that the code lacks");
}
