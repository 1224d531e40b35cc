package marigoldward.support.declarations

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import marigoldward.core.config.ConfigurationBundle
import marigoldward.core.config.SourceFile
import marigoldward.core.errorOrNull
import marigoldward.core.getOrNull
import marigoldward.core.model.SiteName
import java.io.File

private val FOLDER = File("../examples/group")
private val BASE = File(FOLDER, "base.ini").readText()
private val OVERLAY = File(FOLDER, "overlays/preturi.ini").readText()

private fun bundle(base: String, overlay: String): ConfigurationBundle =
    ConfigurationBundle(SourceFile("base.ini", base), listOf(SourceFile("preturi.ini", overlay)))

private fun problems(base: String = BASE, overlay: String = OVERLAY): List<String> =
    DeclarationReader.read(bundle(base, overlay)).errorOrNull().orEmpty().map { it.toString() }

class DeclarationReaderTest :
    DescribeSpec({
        describe("a bundle") {
            it("overrides values of the base with those of the overlay") {
                val site =
                    DeclarationReader
                        .readSite(bundle(BASE, OVERLAY), SiteName.parse("preturi"))
                        .getOrNull()
                        .shouldNotBeNull()
                site.classOrNull("routine")?.guaranteedSharePercent shouldBe 5
                site.classOrNull("routine")?.firstTokenTargetMillis shouldBe 20_000
                site.classOrNull("standard")?.guaranteedSharePercent shouldBe 20
                site.poolForPathOrNull("/survey/answers")?.name?.text shouldBe "survey-app"
                site.poolForPathOrNull("/surveyor") shouldBe null
            }
            it("reports an unknown key with its file, its line and the allowed keys") {
                problems(overlay = "$OVERLAY\n[limits]\nmax_bodies = 3\n").single { "max_bodies" in it } shouldBe
                    "preturi.ini:${OVERLAY.lines().size + 2}: key \"max_bodies\" is not known in section \"limits\"; " +
                    "allowed: max_body_bytes, max_output_tokens, caller_share, request_timeout_ms, retry_budget_percent"
            }
            it("reports an invalid value and the allowed ones") {
                val line = BASE.lines().indexOfFirst { it.startsWith("max_output_tokens") } + 1
                problems(base = BASE.replace("max_output_tokens = 8192", "max_output_tokens = 8k")) shouldContain
                    "base.ini:$line: value \"8k\" of key \"max_output_tokens\" is not allowed; " +
                    "use a whole number from 1 to 1000000000"
            }
            it("is rejected if a section is defined twice") {
                problems(overlay = "$OVERLAY\n[site]\nname = other\n").single() shouldBe
                    "preturi.ini:${OVERLAY.lines().size + 1}: section \"site\" is already defined at line 3"
            }
            it("is rejected if the guaranteed shares exceed 100 percent") {
                val shares = BASE.replace("guaranteed_share_percent = 20", "guaranteed_share_percent = 99")
                problems(base = shares).single() shouldBe
                    "preturi.ini: the guaranteed shares of all classes add up to 104 percent; at most 100 are allowed"
            }
            it("is rejected for a duplicate rank, an unknown default class and an invalid path prefix") {
                val overlay = OVERLAY
                    .replace("default_class = standard", "default_class = fast")
                    .replace("path_prefix = /survey", "path_prefix = survey/")
                val found = problems(BASE.replace("rank = 1", "rank = 0"), overlay)
                found.count { "share the rank 0" in it } shouldBe 1
                found.count { "value \"fast\" of key \"default_class\"" in it } shouldBe 1
                found.count { "value \"survey/\" of key \"path_prefix\"" in it } shouldBe 1
            }
            it("is rejected if a site has two overlays, or if there is no overlay") {
                val twice =
                    ConfigurationBundle(SourceFile("base.ini", BASE), List(2) { SourceFile("o$it.ini", OVERLAY) })
                DeclarationReader.read(twice).errorOrNull().orEmpty().single().message shouldBe
                    "there is more than one overlay for the site \"preturi\""
                val none = ConfigurationBundle(SourceFile("base.ini", BASE), emptyList())
                DeclarationReader.read(none).errorOrNull().orEmpty().size shouldBe 1
            }
        }
    })
