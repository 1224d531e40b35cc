package marigoldward.core.workspaces

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import marigoldward.core.errorOrNull
import marigoldward.core.routes.CallerLimits
import marigoldward.core.routes.RequestKind
import marigoldward.core.routes.Route
import marigoldward.core.routes.RouteConfiguration

private fun workspace(name: String, vararg keys: String): Workspace =
    Workspace(WorkspaceName.parse(name), keys.map { checkNotNull(KeyDigest.ofOrNull(it)) }.toSet(), null)

private fun route(isPublic: Boolean): Route =
    Route("r", "h", "/", RequestKind.IDEMPOTENT, emptyList(), 1, 0, 0, 0, 1, false, false, isPublic)

class WorkspacesTest :
    DescribeSpec({
        describe("the access of a request") {
            val first = workspace("first", "key-1", "key-2")
            val workspaces = Workspaces.of(listOf(first, workspace("without-keys")))

            // Guards against a key that opens another workspace, and against an empty or missing key that opens one.
            it("is that of the workspace with its key") {
                Access.of(workspaces, route(isPublic = false), "key-2") shouldBe Access.Granted(first)
                listOf("key-3", "KEY-1", "key-1 ").forEach {
                    Access.of(workspaces, route(isPublic = false), it) shouldBe Access.UnknownKey
                }
                listOf(null, "").forEach { Access.of(workspaces, route(isPublic = false), it) shouldBe Access.NoKey }
            }
            it("needs no key on a public route or without workspaces") {
                Access.of(workspaces, route(isPublic = true), "key-1") shouldBe Access.Public
                Access.of(null, route(isPublic = false), null) shouldBe Access.NoWorkspaces
            }
            // Guards against callers that make a look-up expensive.
            it("is that of an unknown key if the key is longer than any key of a configuration") {
                KeyDigest.ofOrNull("k".repeat(KeyDigest.MAX_KEY_CHARACTERS)).shouldNotBeNull()
                KeyDigest.ofOrNull("k".repeat(100_000)).shouldBeNull()
                Access.of(workspaces, route(isPublic = false), "k".repeat(100_000)) shouldBe Access.UnknownKey
            }
        }
        describe("a configuration in which two workspaces have a key in common") {
            // Guards against a key in a message that operators and logs receive.
            it("is invalid, with a message that names both workspaces but not the key") {
                val list = listOf(workspace("a", "secret-1"), workspace("b"), workspace("c", "x", "secret-1"))
                val problem = RouteConfiguration.check(1, emptyList(), emptyList(), CallerLimits.DEFAULT, list)
                val message = problem.errorOrNull().shouldNotBeNull().message
                listOf("\"a\"", "\"c\"").forEach { message shouldContain it }
                message shouldNotContain "secret-1"
            }
        }
        describe("the names of workspaces in metrics") {
            // Guards against a metrics page that grows with the number of workspaces, and counters that decrease.
            it("are bounded, and stay the same") {
                val labels = WorkspaceLabels(2)
                val names = listOf("a", "b", "c", "a", "d").map { labels.labelOf(WorkspaceName.parse(it)) }
                names shouldBe listOf("a", "b", WorkspaceLabels.OTHER, "a", WorkspaceLabels.OTHER)
            }
        }
    })
